// Command koshe prints the configuration of Koshe Pitch Permits.
package main

import (
	"fmt"
	"os"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/exemplifier"
)

func main() {
	if err := composer.Print(os.Stdout, exemplifier.Koshe(exemplifier.Settings{})); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
