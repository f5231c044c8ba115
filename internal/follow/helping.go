package follow

// Helping is how an instance helps others that have lost their targets, and is helped.
type Helping interface {
	// HelpAddress returns the address at which the instance takes requests of others, empty if it
	// takes none at present.
	HelpAddress() string
	// LacksTargets reports whether the instance cannot reach the targets of some service.
	LacksTargets() bool
	// WantsHelpers reports whether the instance is to be told of its helpers.
	WantsHelpers() bool
	// UpdateHelpers replaces the addresses of the instances that requests can be handed over to.
	UpdateHelpers(addresses []string)
}

// noHelping is the helping of an instance that neither helps nor is helped.
type noHelping struct{}

func (noHelping) HelpAddress() string    { return "" }
func (noHelping) LacksTargets() bool     { return false }
func (noHelping) WantsHelpers() bool     { return false }
func (noHelping) UpdateHelpers([]string) {}

// UseHelping sets how the instance helps others. It must be called before Run.
func (f *Follower) UseHelping(h Helping) { f.helping = h }
