package main

// zones are the zones of the small deployment.
var zones = []string{"mvd-pocitos", "mvd-prado", "mvd-carrasco"}

// smallDeployment starts three machines of the core and three fronts, one of each in a zone.
func smallDeployment(c *cluster) (core, fronts []*node, err error) {
	var seeds []string
	for i, zone := range zones {
		n := c.add("core-"+zone+"-1", "control", zone, i+1, nil)
		core, seeds = append(core, n), append(seeds, n.control())
	}
	for i, zone := range zones {
		fronts = append(fronts, c.add("front-"+zone+"-1", "gateway", zone, 11+i, seeds))
	}
	for _, n := range core {
		n.seeds = seeds
	}
	if err := startAll(true, core...); err != nil {
		return nil, nil, err
	}
	return core, fronts, startAll(true, fronts...)
}
