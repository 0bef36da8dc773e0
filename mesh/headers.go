package mesh

// Headers holds the names of the header fields that callers, targets and nodes
// exchange.
type Headers struct {
	RequestID      string // ID of one attempt of a caller; targets echo it
	DeadlineMs     string // milliseconds that the caller will still wait
	Signature      string // proves that a target made the response
	ExpectedTarget string // ID of the target that may run the request
	NotRun         string // set by a target that did not run the request
	CallerService  string // service of the host at which the request originated
	TargetID       string // ID of the target that responded
	RetryAfter     string // seconds after which a refused caller may retry
	Key            string // key of the caller's customer; entry nodes remove it
	Customer       string // name of the customer; set by entry nodes
}

// Header fields between nodes. filters.StripHeader removes them from what
// callers and targets send.
const (
	headerReserve     = "Hb-Reserve" // request for a slot
	headerReservation = "Hb-Ticket"  // ID of a reservation
	headerRefused     = "Hb-Refused" // reason for a refusal
	headerStatus      = "Hb-Status"  // status of the host node's target
	headerTimeLeft    = "Hb-Left"    // milliseconds until the request's deadline
	headerFromTarget  = "Hb-Answer"  // set if the response is the target's
	headerResult      = "Hb-Result"  // result code of a response that is not the target's
	headerRan         = "Hb-Ran"     // whether the request was run, sent with headerResult
	headerConfig      = "Hb-Config"  // request for the configuration in force, or with the value headerConfigVersion for its version
	// headerConfigAfter is the version that the asking node has, and the response is
	// empty if there is no newer one. In a response it is the version in force.
	headerConfigAfter = "Hb-After"
)
