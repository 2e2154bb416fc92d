package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// raceVariable makes Build use the race detector.
const raceVariable = "GODWITHUB_SCENARIO_RACE"

// Build builds all programs of the repository into dir. It builds them with
// the race detector if GODWITHUB_SCENARIO_RACE is set.
func Build(dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv(raceVariable) != "" {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "github.com/godwithub/godwithub/cmd/...")...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("scenario: build: %w\n%s", err, out)
	}
	return nil
}
