package mesh

// Headers are the names of the fields that callers, targets and nodes use.
type Headers struct {
	RequestID      string // ID of one attempt of a caller; targets echo it
	DeadlineMs     string // milliseconds that the caller still waits
	Signature      string // proves that a target made the answer
	ExpectedTarget string // ID of the target that may run the request
	NotRun         string // set by a target that did not run the request
	CallerService  string // service of the host at which the request began
	TargetID       string // ID of the target that answered
	RetryAfter     string // seconds after which a refused caller may try again
}

// Fields between nodes. filters.StripHeader removes them from what callers and
// targets send.
const (
	headerReserve = "Hb-Reserve" // request for a slot
	headerTicket  = "Hb-Ticket"  // ID of a reservation
	headerRefused = "Hb-Refused" // reason of a refusal
	headerStatus  = "Hb-Status"  // status of the host node's target
	headerLeft    = "Hb-Left"    // milliseconds until the request's deadline
	headerAnswer  = "Hb-Answer"  // the answer is the target's
	headerResult  = "Hb-Result"  // result code of an answer that is not the target's
	headerRan     = "Hb-Ran"     // whether the request ran, with headerResult
	headerConfig  = "Hb-Config"  // request for the configuration in force
)
