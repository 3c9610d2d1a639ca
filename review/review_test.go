//go:build review

// Package review runs the cases of the independent review: go test -tags review ./review
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases plays the cases one by one. Each fails as long as its fault is there. It needs the build of
// deploy/system.toml and review/build.sh.
func TestReviewCases(t *testing.T) {
	scripts, err := filepath.Glob("[0-9]/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no cases", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			cmd := exec.Command("./" + script)
			cmd.Env = os.Environ()
			out, err := cmd.CombinedOutput()
			var exit *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &exit) && exit.ExitCode() == 1:
				t.Errorf("the rule is broken:\n%s", out)
			default:
				t.Fatalf("the case couldn't run: %v\n%s", err, out)
			}
		})
	}
}
