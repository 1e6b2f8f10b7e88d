package example

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

var (
	linkPattern    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	headingPattern = regexp.MustCompile(`(?m)^#+ (.*)$`)
	codePattern    = regexp.MustCompile("(?ms)^ *```.*?^ *```|^    .*?$|`[^`\n]+`")
	notInAnchor    = regexp.MustCompile(`[^\p{L}\p{N}\s_-]`)
)

// BrokenLinks returns the relative links of a Markdown page to a file or heading that doesn't exist.
func BrokenLinks(path string) ([]string, error) {
	text, err := os.ReadFile(path) //nolint:gosec // tests name the pages
	if err != nil {
		return nil, fmt.Errorf("read page: %w", err)
	}
	var broken []string
	for _, match := range linkPattern.FindAllStringSubmatch(codePattern.ReplaceAllString(string(text), ""), -1) {
		if strings.Contains(match[1], "://") {
			continue
		}
		file, anchor, _ := strings.Cut(match[1], "#")
		target := path
		if file != "" {
			target = filepath.Join(filepath.Dir(path), file)
		}
		if !hasAnchor(target, anchor) {
			broken = append(broken, fmt.Sprintf("%s: %s", path, match[1]))
		}
	}
	return broken, nil
}

// hasAnchor reports whether a file exists and has a heading with the anchor. For the empty anchor it is enough that the file or
// folder exists.
func hasAnchor(path, anchor string) bool {
	if anchor == "" {
		_, err := os.Stat(path) //nolint:gosec // a link of a page
		return err == nil
	}
	text, err := os.ReadFile(path) //nolint:gosec // a link of a page
	if err != nil {
		return false
	}
	return slices.ContainsFunc(headingPattern.FindAllStringSubmatch(string(text), -1), func(match []string) bool {
		slug := notInAnchor.ReplaceAllString(strings.ToLower(match[1]), "")
		return strings.ReplaceAll(slug, " ", "-") == anchor
	})
}

// FindNames returns the distinct texts of the first group of a pattern in the code of a Markdown page, such as all
// flags, in alphabetical order.
func FindNames(path, pattern string) ([]string, error) {
	text, err := os.ReadFile(path) //nolint:gosec // tests name the pages
	if err != nil {
		return nil, fmt.Errorf("read page: %w", err)
	}
	var names []string
	for _, block := range codePattern.FindAllString(string(text), -1) {
		for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(block, -1) {
			names = append(names, match[1])
		}
	}
	slices.Sort(names)
	return slices.Compact(names), nil
}
