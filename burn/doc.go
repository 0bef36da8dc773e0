// Package burn measures the service-level objectives of services.
//
// A request is good when it was answered in time, whole and once. A Recorder
// counts the requests of one node in slots of one minute and of one hour, by
// service and class; of bad requests it also keeps the targets and customers
// that had most of them. A slot is identified by its node, the incarnation of
// the process, its start, its length and its part, and it only grows; its number rises
// with every change. A Report is a set of slots. Merging keeps the slot with the
// higher number, so that merging reports twice or in any order changes nothing.
//
// Slots are kept in packed form. A Store holds packed slots within a bound on
// their bytes and drops the oldest first; a Summary states for how much of the
// objective's window it has slots.
package burn
