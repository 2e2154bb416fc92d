package server

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/godwithub/godwithub/control"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/resource"
)

// watchWriteTimeout ends a watch whose client does not read.
const watchWriteTimeout = 30 * time.Second

// watcher sends the events of one watch.
type watcher struct {
	*Server
	out     http.ResponseWriter
	stream  *http.ResponseController
	since   resource.Version
	reached bool
	last    apiv1.Nodes
}

// watch streams changes from a version on as lines of JSON.
func (s *Server) watch(ctx iris.Context) {
	w := &watcher{Server: s, out: ctx.ResponseWriter(), stream: http.NewResponseController(ctx.ResponseWriter().Naive())}
	if !w.parse(ctx) {
		return
	}
	if !s.barrier(ctx) {
		return
	}
	if v := s.Machine.Version(); w.since.Epoch == v.Epoch && v.Less(w.since) {
		fail(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "version %s is above the present version %s", w.since, v)
		return
	}
	if s.watches.Add(1) > maxWatches {
		s.watches.Add(-1)
		ctx.Header("Retry-After", retryAfter)
		fail(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "%d watches are open already", maxWatches)
		return
	}
	defer s.watches.Add(-1)
	ctx.ContentType("application/jsonlines")
	ctx.StatusCode(http.StatusOK)
	if err := w.run(ctx.Request().Context().Done()); err != nil {
		s.Log.Info("watch ended", "remote", ctx.Request().RemoteAddr, "error", err)
	}
	w.stream.SetWriteDeadline(time.Time{})
	ctx.StopExecution()
}

func (w *watcher) parse(ctx iris.Context) bool {
	var err error
	if text := ctx.URLParam("since"); text != "" {
		w.since, err = apiv1.ParseVersion(text)
	}
	if text := ctx.URLParam("reached"); text != "" && err == nil {
		w.reached, err = strconv.ParseBool(text)
	}
	if err != nil {
		fail(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "since is a version such as 1.42, and reached is true or false")
		return false
	}
	return true
}

// run sends events until the client leaves, the server stops or another
// process leads, which the client learns by connecting again.
func (w *watcher) run(gone <-chan struct{}) error {
	changed := make(chan struct{}, 1)
	cancel := w.Machine.Subscribe(func(resource.Version) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	defer cancel()
	heartbeat := time.NewTicker(w.Heartbeat)
	defer heartbeat.Stop()
	poll := time.NewTicker(w.Poll)
	defer poll.Stop()
	for {
		if err := w.sendNews(); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-poll.C:
			if id, _, ok := w.Replicator.Leader(); !ok || id != w.NodeID {
				return nil
			}
		case <-heartbeat.C:
			if err := w.sendHeartbeat(); err != nil {
				return err
			}
		case <-gone:
			return nil
		case <-w.stop:
			return nil
		}
	}
}

// sendHeartbeat tells the client that it has all changes. A process that is cut
// off from the others cannot know that, so the watch ends instead.
func (w *watcher) sendHeartbeat() error {
	ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
	defer cancel()
	if err := w.Replicator.ReadBarrier(ctx); err != nil {
		return fmt.Errorf("server: heartbeat not confirmed: %w", err)
	}
	if err := w.sendNews(); err != nil {
		return err
	}
	v := w.since
	return w.send(apiv1.Event{Type: apiv1.EventHeartbeat, Version: &v})
}

func (w *watcher) sendNews() error {
	if w.since != w.Machine.Version() {
		if err := w.sendChanges(); err != nil {
			return err
		}
	}
	if !w.reached {
		return nil
	}
	nodes := summarize(w.Reached, w.since)
	if reflect.DeepEqual(nodes, w.last) {
		return nil
	}
	w.last = nodes
	return w.send(apiv1.Event{Type: apiv1.EventReached, Nodes: &nodes})
}

// change is a changed or deleted object.
type change struct {
	revision uint64
	key      resource.Key
	object   resource.Object // nil if deleted
}

func (w *watcher) sendChanges() error {
	changes, err := w.Machine.Changes(w.since)
	if err != nil {
		return err
	}
	if changes.Full {
		if err := w.send(apiv1.Event{Type: apiv1.EventReset, Version: &changes.To}); err != nil {
			return err
		}
	}
	for _, c := range inOrder(changes) {
		e := apiv1.Event{Type: apiv1.EventDelete, Key: &c.key}
		if c.object != nil {
			e = apiv1.Event{Type: apiv1.EventPut, Object: &apiv1.Resource{Object: c.object}}
		}
		if err := w.write(e); err != nil {
			return err
		}
	}
	w.since = changes.To
	return w.send(apiv1.Event{Type: apiv1.EventVersion, Version: &changes.To})
}

// inOrder returns changes in the order in which they were made.
func inOrder(changes *control.Changes) []change {
	list := make([]change, 0, len(changes.Objects)+len(changes.Deleted))
	for _, o := range changes.Objects {
		list = append(list, change{o.Metadata().Revision, resource.KeyOf(o), o})
	}
	for _, t := range changes.Deleted {
		list = append(list, change{t.Revision, t.Key, nil})
	}
	slices.SortFunc(list, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key.Type, b.key.Type), cmp.Compare(a.key.Name, b.key.Name))
	})
	return list
}

func (w *watcher) write(e apiv1.Event) error {
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	w.stream.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	_, err = w.out.Write(append(b, '\n'))
	return err
}

// send writes e and passes all that was written on to the client.
func (w *watcher) send(e apiv1.Event) error {
	if err := w.write(e); err != nil {
		return err
	}
	return w.stream.Flush()
}
