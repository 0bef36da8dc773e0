// Package peer carries control messages between nodes over gRPC with a CBOR
// codec.
//
// There is a single gRPC method. Each request and response is an envelope with
// a Header (sender, incarnation, configuration version, log progress) and a
// CBOR body. Handle registers a typed handler for a method name, and Call sends
// a typed request to an address. Both sides pass the headers of received
// envelopes to OnHeader, so that each exchange also distributes progress.
//
// Limits are MaxMessageBytes per message, Settings.MessagesPerSecond per
// sender, and those of the decoder. A sender that exceeds a limit is
// disconnected, and its messages are refused for PenaltyDuration.
//
// Connections use mutual TLS. The certificate of a peer must contain its node
// ID as a DNS name or URI. Certificate files are reloaded when they change;
// open connections keep their certificates for up to MaxConnectionAge. Plain
// text is allowed on loopback only, unless Settings.AllowPlainText is set.
package peer
