package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"celeryhead.dev/celeryhead/commander"
	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/exemplifier"
)

const runMain = "CELERYHEAD_RUN_MAIN"

// TestMain runs the program itself in the child process that the test starts.
func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(args ...string) (int, string) {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), runMain+"=1")
	out, err := c.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out)
	}
	So(err, ShouldBeNil)
	return 0, string(out)
}

// Guards against a program that loses the exit code, such as the 2 with which the flag library ends by itself.
func TestProgramExits(t *testing.T) {
	Convey("Exit codes of the process", t, func() {
		text, err := composer.Encode(exemplifier.Koshe(exemplifier.Settings{}))
		So(err, ShouldBeNil)
		path := filepath.Join(t.TempDir(), "config.toml")
		So(os.WriteFile(path, text, 0o600), ShouldBeNil)
		code, out := program("check", path)
		So(out, ShouldContainSubstring, "is valid")
		So(code, ShouldEqual, commander.ExitDone)
		code, out = program("check", path, "--paint")
		So(out, ShouldContainSubstring, "Usage")
		So(code, ShouldEqual, commander.ExitRefused)
		code, _ = program("check")
		So(code, ShouldEqual, commander.ExitRefused)
		code, _ = program("--help")
		So(code, ShouldEqual, commander.ExitDone)
	})
}
