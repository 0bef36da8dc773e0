package node

import (
	"context"
	"fmt"
	"time"

	"hyssopbridge/control"
	"hyssopbridge/fleet"
	"hyssopbridge/membership"
	"hyssopbridge/peer"
	"hyssopbridge/resultcode"
)

// Methods between nodes.
const (
	methodState  = "control.state"
	methodLease  = "lease"
	methodLookup = "once.lookup"
	methodImport = "once.import"
	methodSettle = "settle"
	methodRates  = "rates"
	methodReport = "health.report"
	methodLists  = "health.lists"
	methodDrain  = "operator.drain"

	methodBurnCopy = "burn.copy"
)

const (
	// callTimeout is the default timeout of a call between nodes.
	callTimeout = time.Second
	// stateTimeout is the timeout of a state transfer, which may be large.
	stateTimeout = 5 * time.Second
	// maxStatePartBytes is the maximum size of one part of a state transfer.
	maxStatePartBytes = 512 << 10
)

// errNotAnnounced refuses a request to a target that is not announced at this node.
var errNotAnnounced = resultcode.New(resultcode.NoTarget, "the target is not announced here")

// call sends a request to a node that the membership view shows as alive.
func call[Req, Resp any](ctx context.Context, n *Node, node, method string, req *Req) (*Resp, error) {
	v := n.members.View().Node(node)
	if v == nil || v.Status >= membership.Dead {
		return nil, fmt.Errorf("node %s is not known to be alive", node)
	}
	return peer.Call[Req, Resp](peer.WithExpectedNode(ctx, node), n.client, v.ControlAddr, method, req)
}

// progress returns the configuration and log progress that this node reports in
// the headers of calls between nodes.
func (n *Node) progress() peer.Progress {
	p := n.watcher.Progress()
	return peer.Progress{ConfigVersion: n.watcher.Current().Version, LogOffset: p.Offset, LogAgeMS: p.Age.Milliseconds()}
}

func (n *Node) onHeader(from peer.Identity, h peer.Header) {
	n.peerVersions.record(from.Node, h.ConfigVersion, time.Now())
	n.watcher.PeerAnnounced(from.Node, h.ConfigVersion,
		control.Progress{Offset: h.LogOffset, Age: time.Duration(h.LogAgeMS) * time.Millisecond})
}

// stateRequest requests one part of the changes of state since a version.
type stateRequest struct {
	Since int64 `cbor:"1,keyasint"`
	To    int64 `cbor:"2,keyasint,omitempty"` // version of the first part; 0 in the first request
	Part  int   `cbor:"3,keyasint,omitempty"`
}

// stateResponse holds an encoded control.Update.
type stateResponse struct {
	Update []byte `cbor:"1,keyasint"`
}

// FetchState implements control.StateFetcher. A large state arrives in parts; if the
// peer's state changes between two parts, the transfer fails and starts again.
func (n *Node) FetchState(ctx context.Context, node string, since int64) (control.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var parts []control.Update
	req := stateRequest{Since: since}
	for {
		resp, err := call[stateRequest, stateResponse](ctx, n, node, methodState, &req)
		if err != nil {
			return control.Update{}, err
		}
		u, err := control.DecodeUpdate(resp.Update)
		if err != nil {
			return control.Update{}, err
		}
		parts = append(parts, u)
		if len(parts) >= u.Parts {
			return joinParts(parts)
		}
		req.To, req.Part = u.To, len(parts)
	}
}

func joinParts(parts []control.Update) (control.Update, error) {
	if len(parts) == 1 {
		return parts[0], nil
	}
	return control.Join(parts)
}

func (n *Node) serveState(_ context.Context, _ peer.Identity, req *stateRequest) (*stateResponse, error) {
	u := n.watcher.StateResponse(req.Since)
	parts := u.Split(maxStatePartBytes)
	if req.To != 0 && req.To != u.To || req.Part < 0 || req.Part >= len(parts) {
		return nil, fmt.Errorf("part %d of the state of version %d is not available, this node has version %d", req.Part, req.To, u.To)
	}
	data, err := control.EncodeUpdate(parts[req.Part])
	if err != nil {
		return nil, err
	}
	return &stateResponse{Update: data}, nil
}

// settleRequest asks a host node to prove that an attempt did not run.
type settleRequest struct {
	Attempt string `cbor:"1,keyasint"`
}

type settleResponse struct {
	NotRun bool `cbor:"1,keyasint"`
}

// NotRun implements proxy.Settler.
func (n *Node) NotRun(ctx context.Context, node fleet.Node, attempt string) bool {
	resp, err := call[settleRequest, settleResponse](ctx, n, node.ID, methodSettle, &settleRequest{Attempt: attempt})
	return err == nil && resp.NotRun
}

func (n *Node) serveSettle(_ context.Context, _ peer.Identity, req *settleRequest) (*settleResponse, error) {
	return &settleResponse{NotRun: n.home.settle(req.Attempt)}, nil
}
