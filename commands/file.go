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

type checkCommand struct {
	File string `arg:"positional,required" help:"rules file"`
}

func (c *checkCommand) examples() string { return "cherviltide check rules" }

func (c *checkCommand) operate(_ context.Context, console console) error {
	text, err := readRules(c.File)
	if err != nil {
		return err
	}
	rules, err := parser.Parse(text)
	if err != nil {
		return inFile(c.File, err)
	}
	_, err = fmt.Fprintf(console.Out, "%s: %d services, %d kinds, %d customers\n", c.File, len(rules.Services), len(rules.Kinds), len(rules.Customers))
	return err
}

type formatCommand struct {
	File  string `arg:"positional,required" help:"rules file"`
	Write bool   `arg:"-w,--write" help:"replace the file instead of printing it"`
}

func (c *formatCommand) examples() string { return "cherviltide format -w rules" }

func (c *formatCommand) operate(_ context.Context, console console) error {
	text, err := readRules(c.File)
	if err != nil {
		return err
	}
	formatted, err := parser.Format(text)
	if err != nil {
		return inFile(c.File, err)
	}
	if !c.Write {
		_, err = fmt.Fprint(console.Out, formatted)
		return err
	}
	if formatted == text {
		return nil
	}
	return replace(c.File, formatted)
}

type diffCommand struct {
	remote
	File string `arg:"positional,required" help:"rules file"`
}

func (c *diffCommand) examples() string { return "cherviltide diff rules --control 127.0.0.1:7400" }

func (c *diffCommand) operate(ctx context.Context, console console) error {
	text, err := readRules(c.File)
	if err != nil {
		return err
	}
	s, err := c.open()
	if err != nil {
		return err
	}
	current, err := ask(ctx, s, messenger.Current, &messenger.CurrentRequest{})
	if err != nil {
		return err
	}
	warnUnconfirmed(console, current.Confirmed)
	difference := parser.Diff(current.Text, text)
	console.progress("%s against revision %d", c.File, current.Revision)
	_, err = fmt.Fprint(console.Out, difference.Text())
	return err
}

func readRules(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{cherviltide.Fault{Op: "commands.readRules", Kind: cherviltide.KindInvalid, Err: err}}
	}
	return string(data), nil
}

// inFile prefixes each problem with the file's name, so that editors can jump to it.
func inFile(path string, err error) error {
	var e *parser.Error
	if !errors.As(err, &e) {
		return err
	}
	list := make([]error, 0, len(e.Problems))
	for _, p := range e.Problems {
		list = append(list, fmt.Errorf("%s:%s", path, p))
	}
	return errors.Join(list...)
}

// replace writes a file so that a crash leaves the old or the new content, never a part. The mode stays; a symbolic link
// stays and its target is replaced.
func replace(path, text string) error {
	err := replaceTarget(path, text)
	if err != nil {
		return &Error{cherviltide.Fault{Op: "commands.replace", Kind: cherviltide.KindInternal, Err: err}}
	}
	return nil
}

func replaceTarget(path, text string) (err error) {
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
	return syncFolder(filepath.Dir(path))
}

// syncFolder makes a rename durable.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
