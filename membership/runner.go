package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/peer"
)

const (
	tickInterval = 50 * time.Millisecond
	methodName   = "membership"
	// sendTimeout bounds one exchange; a later response counts as lost.
	sendTimeout = 2 * time.Second
	// maxInFlight bounds the messages being sent. Further ones are dropped; the
	// comparison of digests repairs the loss.
	maxInFlight = 256
	// leaveTimeout bounds the sending of the final messages of a node.
	leaveTimeout = time.Second
)

// Response contains the replies to a message.
type Response struct {
	Replies []*Message
}

// Runner drives a Core over package peer in one goroutine.
type Runner struct {
	core     *Core
	client   *peer.Client
	onChange func(*View)
	start    time.Time
	view     atomic.Pointer[View]
	inputs   chan func()
	done     chan struct{}
	stop     context.CancelFunc
	inFlight chan struct{}
	sends    sync.WaitGroup
	dropped  atomic.Int64
}

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Config Config
	Seed   uint64 // for random choices; must differ between nodes
	Server *peer.Server
	Client *peer.Client
	// OnChange, if not nil, receives each new view, in order, on the runner's
	// goroutine. It must not block.
	OnChange func(*View)
}

// Start registers the membership method with the server and starts the runner.
func Start(o RunnerOptions) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Runner{
		core:     New(o.Config, o.Seed),
		client:   o.Client,
		onChange: o.OnChange,
		start:    time.Now(),
		inputs:   make(chan func(), 64),
		done:     make(chan struct{}),
		stop:     cancel,
		inFlight: make(chan struct{}, maxInFlight),
	}
	r.view.Store(r.core.View())
	peer.Handle(o.Server, methodName, r.serve)
	go r.run(ctx)
	return r
}

// View returns the current view; it never blocks.
func (r *Runner) View() *View { return r.view.Load() }

// Dropped returns the number of messages dropped because too many were being
// sent.
func (r *Runner) Dropped() int64 { return r.dropped.Load() }

// SetSelf sets the instances of this node and whether it is draining, and sends
// the change immediately.
func (r *Runner) SetSelf(instances []fleet.Instance, draining bool) {
	r.post(func() {
		r.core.SetSelf(instances, draining)
		r.sendAll(r.core.Tick(r.now()))
	})
}

// Leave announces that the node has left, waits until the announcements are
// sent, and stops the runner.
func (r *Runner) Leave() {
	sent := make(chan struct{})
	r.post(func() {
		r.sendAll(r.core.Leave(r.now()))
		r.stop()
		close(sent)
	})
	select {
	case <-sent:
	case <-r.done:
	}
	r.wait(leaveTimeout)
}

// Stop stops the runner without notifying other nodes, as a crash would.
func (r *Runner) Stop() {
	r.stop()
	<-r.done
}

func (r *Runner) wait(d time.Duration) {
	<-r.done
	finished := make(chan struct{})
	go func() {
		r.sends.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-time.After(d):
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.start) }

// post queues a function for the goroutine that owns the core. It reports false
// if the runner has stopped.
func (r *Runner) post(step func()) bool {
	select {
	case r.inputs <- step:
		return true
	case <-r.done:
		return false
	}
}

func (r *Runner) run(ctx context.Context) {
	defer close(r.done)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case step := <-r.inputs:
			step()
		case <-t.C:
			r.sendAll(r.core.Tick(r.now()))
		}
		r.publish()
	}
}

func (r *Runner) publish() {
	v := r.core.View()
	if v == r.view.Load() {
		return
	}
	r.view.Store(v)
	if r.onChange != nil {
		r.onChange(v)
	}
}

// serve passes a received message to the core and returns its replies.
func (r *Runner) serve(ctx context.Context, from peer.Identity, msg *Message) (*Response, error) {
	replies := make(chan []*Message, 1)
	ok := r.post(func() { replies <- r.receive(from.Node, msg) })
	if !ok {
		return nil, &peer.RemoteError{Code: "stopped", Message: "membership is stopped"}
	}
	select {
	case list := <-replies:
		return &Response{Replies: list}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, &peer.RemoteError{Code: "stopped", Message: "membership is stopped"}
	}
}

// receive passes a message to the core, returns the replies and sends all other
// messages.
func (r *Runner) receive(from string, msg *Message) []*Message {
	var replies []*Message
	for _, o := range r.core.Receive(r.now(), from, msg) {
		if o.Reply {
			replies = append(replies, o.Msg)
		} else {
			r.send(o)
		}
	}
	return replies
}

func (r *Runner) sendAll(list []Outgoing) {
	for _, o := range list {
		r.send(o)
	}
}

func (r *Runner) send(o Outgoing) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.dropped.Add(1)
		return
	}
	r.sends.Add(1)
	go func() {
		defer r.sends.Done()
		defer func() { <-r.inFlight }()
		r.deliver(o)
	}()
}

// deliver sends a message and passes the replies to the core.
func (r *Runner) deliver(o Outgoing) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	resp, err := peer.Call[Message, Response](ctx, r.client, o.Addr, methodName, o.Msg)
	if err != nil {
		return
	}
	for _, reply := range resp.Replies {
		if reply == nil {
			continue
		}
		r.post(func() { r.sendAll(r.core.Receive(r.now(), reply.From.ID, reply)) })
	}
}
