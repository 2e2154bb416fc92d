package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
)

// raceEnvVar is the environment variable that makes Build use the race detector.
const raceEnvVar = "GODWITHUB_SCENARIO_RACE"

// Build builds all programs of the repository into dir, with the race detector if
// GODWITHUB_SCENARIO_RACE is set.
func Build(dir string) error {
	args := []string{"build", "-o", dir + string(filepath.Separator)}
	if os.Getenv(raceEnvVar) != "" {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "github.com/godwithub/godwithub/cmd/...")...)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("scenario: build programs: %w\n%s", err, out)
	}
	return nil
}
