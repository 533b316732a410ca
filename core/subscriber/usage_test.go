package subscriber

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"comfreyplank.org/core/messenger"
)

func usageOf(admitted int) messenger.UsageReport {
	return messenger.UsageReport{Workspaces: []messenger.WorkspaceUsage{{Workspace: "w", Admitted: admitted}}}
}

// sentUsage returns the reports among the messages of actions, and whether there is a heartbeat.
func sentUsage(actions []Action) (admitted []int, heartbeat bool) {
	for _, a := range actions {
		v, ok := a.(Send)
		if !ok {
			continue
		}
		switch m := v.Message.(type) {
		case messenger.UsageReport:
			admitted = append(admitted, m.Workspaces[0].Admitted)
		case messenger.Heartbeat:
			heartbeat = true
		}
	}
	return admitted, heartbeat
}

// TestUsageSurvivesALostStream guards against calls that are never counted, since their report was sent on a stream that
// was lost or while there was none, and against old counts that refuse calls without need.
func TestUsageSurvivesALostStream(t *testing.T) {
	s := configured()
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	got, _ := sentUsage(s.Handle(at(0), UsageCounted{Report: usageOf(1)}))
	assert.DeepEqual(t, got, []int{1})
	s.Handle(at(300), MessageReceived{messenger.Lagging{}}) // the report has arrived before it
	s.Handle(at(350), Tick{})
	s.Handle(at(400), Opened{})
	s.Handle(at(410), UsageCounted{Report: usageOf(2)})
	s.Handle(at(1450), Tick{}) // the replica is silent
	s.Handle(at(1500), UsageCounted{Report: usageOf(3)})
	s.Handle(at(1600), Tick{})
	got, _ = sentUsage(s.Handle(at(1700), Opened{}))
	assert.DeepEqual(t, got, []int{2, 3})
	s.Handle(at(1800), Closed{})
	s.Handle(at(1900), UsageCounted{Report: usageOf(4)})
	s.Handle(at(2500), Tick{})
	got, _ = sentUsage(s.Handle(at(4200), Opened{}))
	assert.Equal(t, len(got), 0)
}

// TestUnusualUsageConfirmsContact guards against an entry that learns of a lost contact only with its next heartbeat.
func TestUnusualUsageConfirmsContact(t *testing.T) {
	s := configured()
	_, heartbeat := sentUsage(s.Handle(epoch.Add(50*time.Millisecond), UsageCounted{Report: usageOf(1), Confirm: true}))
	assert.Assert(t, !heartbeat, "too soon after the last one")
	assert.Equal(t, s.Due(), epoch.Add(confirmInterval))
	_, heartbeat = sentUsage(s.Handle(epoch.Add(confirmInterval), Tick{}))
	assert.Assert(t, heartbeat)
}
