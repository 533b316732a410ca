package validator

import (
	"fmt"
	"strings"
)

// Reference returns the document's reference page, made from the definitions that
// the validator checks.
func Reference() string {
	var b strings.Builder
	b.WriteString("# The document\n\nMade by `ctl reference` from the validator's own definitions.\n\n")
	b.WriteString("The configuration is one JSON document, complete each time. It takes effect whole or\nis refused whole, with every error and its path. See [example.json](example.json).\n")
	section(&b, "The document", Schema())
	return b.String()
}

func section(b *strings.Builder, title string, fields []Field) {
	fmt.Fprintf(b, "\n## %s\n\n| key | type | default | allowed | meaning |\n|---|---|---|---|---|\n", title)
	for _, f := range fields {
		byDefault := f.Default
		if f.Required {
			byDefault = "required"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", f.Name, f.Kind, byDefault, f.allowed(), f.Doc)
	}
	for _, f := range fields {
		switch f.Kind {
		case KindObjects:
			section(b, "Each of `"+f.Name+"`", f.Fields)
		case KindObject:
			section(b, "`"+f.Name+"`", f.Fields)
		}
	}
}

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"", "whole number", "string", "time", "list of objects", "list of strings", "object"}[k]
}

func (f Field) allowed() string {
	switch {
	case len(f.Choices) > 0:
		return strings.Join(f.Choices, ", ")
	case f.Kind == KindObject:
		return "the keys below"
	case f.Kind == KindInteger:
		return fmt.Sprintf("%d to %d", f.Min, f.Max)
	case f.Kind == KindObjects || f.Kind == KindStrings:
		return fmt.Sprintf("%d to %d items", f.Min, f.Max)
	case f.Kind == KindString && f.IsName:
		return fmt.Sprintf("up to %d letters, digits, `.`, `-`, `_`", f.Max)
	case f.Kind == KindString:
		return fmt.Sprintf("up to %d bytes", f.Max)
	}
	return "RFC 3339"
}
