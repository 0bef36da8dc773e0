// Package peer carries control messages between nodes over gRPC with a CBOR
// codec.
//
// There is one gRPC method. Each request and response is an envelope with a
// Header (sender, incarnation, configuration version, log progress) and a CBOR
// body. Handle registers a typed handler for a method name, and Call sends a
// typed request to an address. Headers of received envelopes are passed to
// OnHeader on both sides, so that each exchange also spreads progress.
//
// Bounds: MaxMessageBytes for each message, Settings.MessagesPerSecond for each
// sender and limits in the decoder. A sender that exceeds a bound is
// disconnected, and refused for PenaltyDuration.
//
// Connections use mutual TLS. The certificate of a peer must name its node ID as
// a DNS name or URI. The files are read again when they change; open
// connections keep their certificates until MaxConnectionAge. Plain text is
// used on loopback only, unless Settings.AllowPlainText is set.
package peer
