//go:build review

package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases3 plays the scripts of the third review one by one. Each fails as long as its fault is there. It needs
// the build of deploy/system.toml and review/build-3.sh.
func TestReviewCases3(t *testing.T) {
	scripts, err := filepath.Glob("1[0-3]/run.sh")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range append([]string{"9/run.sh"}, scripts...) {
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
