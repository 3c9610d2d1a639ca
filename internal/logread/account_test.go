package logread

import (
	"strings"
	"testing"
	"time"
)

const accountLines = `time="2026-09-06T15:00:00.020Z" level=info msg="request not confirmed" answered=503 data_centre=z1 job=00000000000000a1 method=POST node=n1 queue=q took_ms=20
time="2026-09-06T15:00:01.010Z" level=info msg="request confirmed" data_centre=z2 job=00000000000000a1 method=POST node=n2 queue=q took_ms=10
time="2026-09-06T15:00:02.000Z" level=info msg="job ended" data_centre=z1 ended_ms=1000 epoch=3 in_advice_ms=300 in_run_ms=700 job=00000000000000a1 node=n3 objective_ms=900 queue=q state=completed workspace=w1
time="2026-09-06T15:00:02.250Z" level=info msg="end of a job shown" data_centre=z2 job=00000000000000a1 node=n2 queue=q state=completed
time="2026-09-06T15:00:03.000Z" level=info msg="request not confirmed" answered=429 data_centre=z1 job=00000000000000b2 method=POST node=n1 queue=q took_ms=5
time="2026-09-06T15:00:04.000Z" level=info msg="request confirmed" data_centre=z1 job=00000000000000b2 method=DELETE node=n1 queue=q took_ms=5
`

func accountsOf(t *testing.T, text string) []JobAccount {
	t.Helper()
	lines, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return Accounts(lines.Ordered())
}

// The columns of an account add up from the client's first attempt until it was told of the end.
func TestAccountAddsUp(t *testing.T) {
	accounts := accountsOf(t, accountLines)
	if len(accounts) != 2 {
		t.Fatalf("%d accounts", len(accounts))
	}
	a := accounts[0]
	if a.Total != 2250*time.Millisecond || a.Stages[StageRetries] != time.Second || a.Stages[StageShown] != 250*time.Millisecond || a.Stages["advice"] != 300*time.Millisecond {
		t.Errorf("got %v: %v", a.Total, a.Stages)
	}
	if a.Punctuality != Late || a.Queue != "q" || a.Workspace != "w1" || a.DataCentre != "z1" {
		t.Errorf("got %+v", a)
	}
	if refused := accounts[1]; refused.Punctuality != NotRun || refused.Total != 5*time.Millisecond {
		t.Errorf("refused job: %+v", refused)
	}
	for _, row := range GroupAccounts(accounts, AccountKeys) {
		if rest := row.Unattributed(); rest != 0 {
			t.Errorf("%v: %v is in no stage", row.Values, rest)
		}
	}
}

// A job whose end a second leader logs again, or whose end no client asked for, is counted once and
// until the first end.
func TestAccountCountsAnEndOnce(t *testing.T) {
	again := strings.Replace(strings.Split(accountLines, "\n")[2], "15:00:02.000Z", "15:00:05.000Z", 1)
	only := strings.Split(accountLines, "\n")[2]
	accounts := accountsOf(t, only+"\n"+strings.Replace(again, "epoch=3", "epoch=4", 1)+"\n")
	if len(accounts) != 1 || accounts[0].Total != time.Second || accounts[0].Stages[StageShown] != 0 {
		t.Errorf("got %+v", accounts)
	}
}
