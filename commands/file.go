package commands

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/parser"
)

type formatCommand struct {
	File  string `arg:"positional,required" help:"rules file"`
	Write bool   `arg:"-w,--write" help:"replace the file instead of printing it"`
}

func (c *formatCommand) examples() string { return "cherviltide format -w rules" }

func (c *formatCommand) execute(_ context.Context, console console) error {
	text, err := readRulesFile(c.File)
	if err != nil {
		return err
	}
	formatted, err := parser.Format(text)
	if err != nil {
		return withFileName(c.File, err)
	}
	if !c.Write {
		_, err = fmt.Fprint(console.Out, formatted)
		return err
	}
	if formatted == text {
		return nil
	}
	return replaceFile(c.File, formatted)
}

type diffCommand struct {
	controlFlags
	File string `arg:"positional,required" help:"rules file"`
}

func (c *diffCommand) examples() string { return "cherviltide diff rules --control 127.0.0.1:7400" }

func (c *diffCommand) execute(ctx context.Context, console console) error {
	text, err := readRulesFile(c.File)
	if err != nil {
		return err
	}
	s, err := c.newSession()
	if err != nil {
		return err
	}
	current, err := callControl(ctx, s, messenger.Current, &messenger.CurrentRequest{})
	if err != nil {
		return err
	}
	warnUnconfirmed(console, current.Confirmed)
	diff := parser.Diff(current.Text, text)
	console.progress("%s against revision %d", c.File, current.Revision)
	_, err = fmt.Fprint(console.Out, diff.Text())
	return err
}

func readRulesFile(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{cherviltide.Fault{Op: "commands.readRulesFile", Kind: cherviltide.KindInvalid, Err: err}}
	}
	return string(data), nil
}

// withFileName prefixes each problem with the file name, so that editors can jump to it.
func withFileName(path string, err error) error {
	var e *parser.Error
	if !errors.As(err, &e) {
		return err
	}
	problems := make([]error, 0, len(e.Problems))
	for _, p := range e.Problems {
		problems = append(problems, fmt.Errorf("%s:%s", path, p))
	}
	return errors.Join(problems...)
}

// replaceFile replaces the content of a file atomically: after a crash the file has either the old or the new content. The
// file mode is kept. A symbolic link is kept too, and the file that it points to is replaced.
func replaceFile(path, text string) error {
	err := replaceResolvedFile(path, text)
	if err != nil {
		return &Error{cherviltide.Fault{Op: "commands.replaceFile", Kind: cherviltide.KindInternal, Err: err}}
	}
	return nil
}

// replaceResolvedFile resolves symbolic links, writes the text to a temporary file in the same directory and renames it.
func replaceResolvedFile(path, text string) (err error) {
	if path, err = filepath.EvalSymlinks(path); err != nil {
		return err
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(path), ".cherviltide-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = os.Remove(file.Name())
		}
	}()
	_, err = file.WriteString(text)
	err = errors.Join(err, file.Chmod(info.Mode().Perm()), file.Sync(), file.Close())
	if err != nil {
		return err
	}
	if err = os.Rename(file.Name(), path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// syncDir syncs a directory, which makes a rename in it durable.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
