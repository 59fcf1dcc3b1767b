package cmds

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"lovagelink.example/lovagelink/internal/quest"
)

func questionnaireCommand() command {
	var folder string
	return command{
		name:    "questionnaire",
		short:   "write a questionnaire, check its answers, or generate configuration and settings from them",
		usage:   "questionnaire new FILE | check FILE | [--folder DIR] generate FILE",
		example: "questionnaire check answers.yaml",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&folder, "folder", "run", "folder for the generated files")
		},
		run: func(_ context.Context, args []string, out io.Writer) error {
			if len(args) != 2 {
				return usageError{"expected new FILE, check FILE or generate FILE"}
			}
			switch args[0] {
			case "new":
				return createQuestionnaire(args[1], out)
			case "check":
				_, err := checkAnswers(args[1], out)
				return err
			case "generate":
				return generateFiles(args[1], folder, out)
			}
			return usageError{fmt.Sprintf("%q is neither new, check nor generate", args[0])}
		},
	}
}

// createQuestionnaire writes a questionnaire to a new file. It never overwrites an existing file, which may hold
// answers.
func createQuestionnaire(path string, out io.Writer) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("%s already exists; name another file", path)
	}
	if err != nil {
		return err
	}
	_, err = file.WriteString(quest.Template)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: change the answers to yours, then run lovagelink questionnaire check %s\n", path, path)
	return nil
}

// checkAnswers prints every issue of the answers in a file and returns an error if there are any.
func checkAnswers(path string, out io.Writer) (quest.Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return quest.Answers{}, err
	}
	answers, issues, err := quest.Check(data)
	if err != nil {
		return quest.Answers{}, fmt.Errorf("%s: %w", path, err)
	}
	for _, issue := range issues {
		fmt.Fprintf(out, "%s: %s\n", path, issue)
	}
	if len(issues) > 0 {
		return quest.Answers{}, fmt.Errorf("%s: %d answers are invalid; correct them and check again", path, len(issues))
	}
	fmt.Fprintf(out, "%s: %d zones, %d hosts, %d ranks, %d services\n", path,
		len(answers.Zones), len(answers.Hosts), len(answers.Ranks), len(answers.Services))
	return answers, nil
}

func generateFiles(path, folder string, out io.Writer) error {
	answers, err := checkAnswers(path, out)
	if err != nil {
		return err
	}
	files, err := quest.Generate(answers)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	for _, file := range files {
		summary, err := replaceFile(filepath.Join(folder, file.Name), file.Data)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, summary)
	}
	return nil
}

// replaceFile writes a file and returns a line that says what was done. An existing file with different contents is
// renamed, so that changes made by hand are not lost.
func replaceFile(path string, data []byte) (string, error) {
	previous, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return path, os.WriteFile(path, data, 0o600)
	case err != nil:
		return "", err
	case bytes.Equal(previous, data):
		return path + ": as before", nil
	}
	backup := path + ".old"
	if err := os.Rename(path, backup); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s: the previous file is kept as %s", path, backup), os.WriteFile(path, data, 0o600)
}
