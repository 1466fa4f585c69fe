// Command esbatu prints the configuration of Es Batu Nusantara.
package main

import (
	"fmt"
	"os"

	"celeryhead.dev/celeryhead/composer"
	"celeryhead.dev/celeryhead/exemplifier"
)

func main() {
	if err := composer.Print(os.Stdout, exemplifier.EsBatu(exemplifier.Settings{})); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
