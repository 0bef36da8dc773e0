// Program stand runs the cases of the review. Each case starts nodes of the
// project as separate processes, with stand-ins of the platform's store, of the
// instances and of the clients, on loopback addresses.
//
//	stand CASE RECORD-FILE
//
// The exit code is 1 if the case broke its rule, 0 if the rule held and 2 if the
// case could not run. TROUBLE=0 in the environment leaves the disruption out.
package main
