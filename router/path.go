package router

import (
	"net/url"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Errors of CheckPath.
var (
	ErrRelative    = merry.Sentinel("the path must begin with a slash")
	ErrSeparator   = merry.Sentinel("the path contains an empty segment, a backslash or an encoded slash")
	ErrDotSegments = merry.Sentinel("the path contains a dot segment")
)

// CheckPath refuses paths that a target might read as another path than the one whose route was found, such as
// /open/../keyed; errors: ErrRelative, ErrSeparator, ErrDotSegments.
func CheckPath(u *url.URL) error {
	p := strings.ToLower(u.EscapedPath())
	switch {
	case !strings.HasPrefix(p, "/"):
		return merry.Wrap(ErrRelative)
	case strings.Contains(p, "%2f"), strings.Contains(p, "%5c"), strings.Contains(u.Path, "\\"), strings.Contains(u.Path, "//"):
		return merry.Wrap(ErrSeparator)
	}
	for s := range strings.SplitSeq(u.Path, "/") {
		if s == "." || s == ".." {
			return merry.Wrap(ErrDotSegments)
		}
	}
	return nil
}
