package quarantine

import "time"

// LateBegun is how long an engine has been answering a request at most if its end may have to do with that
// request. What it ran for longer it did not crash on.
const LateBegun = 5 * time.Second

// EndKind is what the end of a request's connection at a target says of the parts of the request's prompt.
type EndKind int

const (
	// EndExplained has another reason: the caller left, a deadline passed, or the target was to leave.
	EndExplained EndKind = iota
	// EndBegun comes within JustBegun after the answer began.
	EndBegun
	// EndUnbegun comes before the answer began. The request may have waited, or its head was lost with the connection.
	EndUnbegun
	// EndLate comes later than JustBegun after the answer began, and within LateBegun.
	EndLate
	// EndLong comes later than that.
	EndLong
)

// String returns the kind's name in logs and metrics.
func (k EndKind) String() string {
	return [...]string{"explained", "begun", "unbegun", "late", "long"}[k]
}

// ClassifyEnd returns the kind of an end. Explained reports that it has another reason, began that the head of the answer
// had arrived, and answering is how long before the end that was.
func ClassifyEnd(explained, began bool, answering time.Duration) EndKind {
	switch {
	case explained:
		return EndExplained
	case !began:
		return EndUnbegun
	case answering <= JustBegun:
		return EndBegun
	case answering <= LateBegun:
		return EndLate
	}
	return EndLong
}
