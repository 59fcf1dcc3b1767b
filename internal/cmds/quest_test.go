package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/quest"
)

// Neither answers nor generated files that were changed by hand are overwritten.
func TestQuestionnaireLosesNothing(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	answers := filepath.Join(folder, "answers.yaml")
	var out strings.Builder
	is.NoErr(createQuestionnaire(answers, &out))
	is.True(createQuestionnaire(answers, &out) != nil) // the file already exists
	is.NoErr(generateFiles(answers, folder, &out))
	config := filepath.Join(folder, "config.yaml")
	is.NoErr(os.WriteFile(config, []byte("changed by hand"), 0o600))
	is.NoErr(generateFiles(answers, folder, &out))
	kept, err := os.ReadFile(config + ".old")
	is.NoErr(err)
	is.Equal(string(kept), "changed by hand")
	is.True(strings.Contains(out.String(), "a1.yaml: as before"))
}

// An issue is printed with its file and line, and nothing is generated.
func TestFaultyAnswersGenerateNothing(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	answers := filepath.Join(folder, "answers.yaml")
	text := strings.Replace(quest.Template, "zone: c,", "zone: d,", 1)
	is.NoErr(os.WriteFile(answers, []byte(text), 0o600))
	var out strings.Builder
	is.True(generateFiles(answers, filepath.Join(folder, "run"), &out) != nil)
	is.True(strings.Contains(out.String(), "answers.yaml: line 14: hosts[2].zone"))
	_, err := os.Stat(filepath.Join(folder, "run"))
	is.True(os.IsNotExist(err))
}
