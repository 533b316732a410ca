package subscriber

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
	"comfreyplank.org/core/recorder"
	"comfreyplank.org/core/registrar"
	"comfreyplank.org/core/validator"
)

// TestEndpointsOfEvacuatedDataCentreAreMarked guards against endpoints that are announced during an evacuation and
// get requests, and against a configuration of an earlier revision that ends it.
func TestEndpointsOfEvacuatedDataCentreAreMarked(t *testing.T) {
	s := configured()
	v := view{}
	document := validator.Document{Services: []validator.Service{{Name: "s"}}}
	configure := func(revision uint64, evacuated ...string) []Action {
		actions := s.Handle(epoch, MessageReceived{messenger.Configuration{Revision: revision, Document: document, Evacuated: evacuated}})
		v.apply(actions)
		return actions
	}
	announce := func(name, dataCentre string, sequence uint64) {
		a := serving(name, false)
		a.DataCentre = dataCentre
		a.Sequence = sequence
		v.apply(s.Handle(epoch, MessageReceived{messenger.EndpointUpdate{Changed: []registrar.Announcement{a}}}))
	}
	announce("a", "dc-1", 1)
	announce("b", "dc-2", 1)
	kinds := func(actions []Action) []recorder.Kind {
		var list []recorder.Kind
		for _, a := range actions {
			if r, ok := a.(Record); ok && r.Event.Kind != recorder.KindConfigApplied {
				list = append(list, r.Event.Kind)
			}
		}
		return list
	}
	assert.DeepEqual(t, kinds(configure(2, "dc-2")), []recorder.Kind{recorder.KindEvacuationBegun})
	announce("c", "dc-2", 1)
	announce("b", "dc-2", 2)
	assert.Assert(t, !v["a"].Evacuated && v["b"].Evacuated && v["c"].Evacuated)
	assert.Assert(t, !v["b"].Stopped)
	assert.Equal(t, len(kinds(configure(1))), 0)
	assert.Assert(t, v["b"].Evacuated, "an earlier revision changes nothing")
	s.Handle(epoch, Closed{})
	announce("b", "dc-2", 3)
	assert.Assert(t, v["b"].Evacuated, "the evacuation lasts while there is no contact with control")
	s.Handle(epoch.Add(time.Minute), Tick{})
	assert.DeepEqual(t, kinds(configure(3, "dc-1", "dc-2")), []recorder.Kind{recorder.KindEvacuationBegun})
	assert.Assert(t, v["a"].Evacuated && v["c"].Evacuated)
	assert.DeepEqual(t, kinds(configure(4, "dc-1")), []recorder.Kind{recorder.KindEvacuationFinished})
	assert.Assert(t, v["a"].Evacuated && !v["b"].Evacuated && !v["c"].Evacuated)
}
