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

// watchWriteTimeout bounds each write of a watch; it ends watches whose client does not read.
const watchWriteTimeout = 30 * time.Second

// watcher sends the events of one watch to its client.
type watcher struct {
	*Server
	out         http.ResponseWriter
	stream      *http.ResponseController
	since       resource.Version
	sendReached bool
	lastNodes   apiv1.NodeVersions
}

// watch streams the changes after a version as lines of JSON.
func (s *Server) watch(ctx iris.Context) {
	w := &watcher{Server: s, out: ctx.ResponseWriter(), stream: http.NewResponseController(ctx.ResponseWriter().Naive())}
	if !w.parseParams(ctx) {
		return
	}
	if !s.readBarrier(ctx) {
		return
	}
	if v := s.Machine.Version(); w.since.Epoch == v.Epoch && v.Less(w.since) {
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "version %s is above the present version %s", w.since, v)
		return
	}
	if s.watches.Add(1) > maxWatches {
		s.watches.Add(-1)
		ctx.Header("Retry-After", retryAfter)
		writeError(ctx, http.StatusServiceUnavailable, apiv1.CodeUnavailable, "%d watches are open already", maxWatches)
		return
	}
	defer s.watches.Add(-1)
	ctx.ContentType("application/jsonlines")
	ctx.StatusCode(http.StatusOK)
	if err := w.run(ctx.Request().Context().Done()); err != nil {
		s.Log.Info("watch ended with an error", "remote", ctx.Request().RemoteAddr, "error", err)
	}
	w.stream.SetWriteDeadline(time.Time{})
	ctx.StopExecution()
}

func (w *watcher) parseParams(ctx iris.Context) bool {
	var err error
	if text := ctx.URLParam("since"); text != "" {
		w.since, err = apiv1.ParseVersion(text)
	}
	if text := ctx.URLParam("reached"); text != "" && err == nil {
		w.sendReached, err = strconv.ParseBool(text)
	}
	if err != nil {
		writeError(ctx, http.StatusBadRequest, apiv1.CodeBadRequest, "since is a version such as 1.42, and reached is true or false")
		return false
	}
	return true
}

// run sends events until the client disconnects, the server closes or this process is no longer the
// leader. A client that reconnects is then redirected to the new leader.
func (w *watcher) run(clientGone <-chan struct{}) error {
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
		if err := w.sendUpdates(); err != nil {
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
		case <-clientGone:
			return nil
		case <-w.stopWatches:
			return nil
		}
	}
}

// sendHeartbeat confirms to the client that it has received all changes. A process that is partitioned
// from the quorum cannot know that, so that the read barrier fails and the watch ends.
func (w *watcher) sendHeartbeat() error {
	ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
	defer cancel()
	if err := w.Replicator.ReadBarrier(ctx); err != nil {
		return fmt.Errorf("server: read barrier before heartbeat: %w", err)
	}
	if err := w.sendUpdates(); err != nil {
		return err
	}
	v := w.since
	return w.sendAndFlush(apiv1.Event{Type: apiv1.EventHeartbeat, Version: &v})
}

func (w *watcher) sendUpdates() error {
	if w.since != w.Machine.Version() {
		if err := w.sendChanges(); err != nil {
			return err
		}
	}
	if !w.sendReached {
		return nil
	}
	nodes := summarizeNodes(w.VersionsInForce, w.since)
	if reflect.DeepEqual(nodes, w.lastNodes) {
		return nil
	}
	w.lastNodes = nodes
	return w.sendAndFlush(apiv1.Event{Type: apiv1.EventReached, Nodes: &nodes})
}

// objectChange is an object that was put or deleted.
type objectChange struct {
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
		if err := w.sendAndFlush(apiv1.Event{Type: apiv1.EventReset, Version: &changes.To}); err != nil {
			return err
		}
	}
	for _, c := range sortByRevision(changes) {
		e := apiv1.Event{Type: apiv1.EventDelete, Key: &c.key}
		if c.object != nil {
			object := shown(c.object)
			e = apiv1.Event{Type: apiv1.EventPut, Object: &object}
		}
		if err := w.writeEvent(e); err != nil {
			return err
		}
	}
	w.since = changes.To
	return w.sendAndFlush(apiv1.Event{Type: apiv1.EventVersion, Version: &changes.To})
}

// sortByRevision returns changes in the order in which they were made.
func sortByRevision(changes *control.Changes) []objectChange {
	list := make([]objectChange, 0, len(changes.Objects)+len(changes.Deleted))
	for _, o := range changes.Objects {
		list = append(list, objectChange{o.Metadata().Revision, resource.KeyOf(o), o})
	}
	for _, t := range changes.Deleted {
		list = append(list, objectChange{t.Revision, t.Key, nil})
	}
	slices.SortFunc(list, func(a, b objectChange) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key.Type, b.key.Type), cmp.Compare(a.key.Name, b.key.Name))
	})
	return list
}

func (w *watcher) writeEvent(e apiv1.Event) error {
	b, err := json.Marshal(e)
	if err != nil {
		return err
	}
	w.stream.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
	_, err = w.out.Write(append(b, '\n'))
	return err
}

// sendAndFlush writes e and flushes all events written so far to the client.
func (w *watcher) sendAndFlush(e apiv1.Event) error {
	if err := w.writeEvent(e); err != nil {
		return err
	}
	return w.stream.Flush()
}
