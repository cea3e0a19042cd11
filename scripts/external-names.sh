#!/usr/bin/env bash
# Prints the names that leave the process, sorted, one a line: headers, methods and paths of HTTP, status texts and JSON
# fields; names in the .proto files; file names and keys of stored data; keys of settings, of the document and of the
# deploy files; flags; metric names and labels; names and fields of log events, and each event's number with its name.
# Words that only occur in error texts are printed as well, because the source does not set them apart.
set -euo pipefail
cd "$(dirname "$0")/.."
export LC_ALL=C

product() {
  git ls-files '*.go' | grep -vE '_test\.go$|\.pb\.go$|^testbed/|^model/'
}

# Strings of the product that consist of one word, without imports and comments.
literals() {
  product | xargs sed -E '/^import|^[[:space:]]*([a-z]+ |_ )?"[a-z.0-9-]+(\/[^"]*)?"$/d; s:(^|[[:space:]])//.*::' |
    grep -oE '"([^"\\]|\\.)*"' | tr -d '"' |
    grep -E '^((GET|POST|PUT|DELETE) )?[./]?[A-Za-z][A-Za-z0-9]*([_./:-]+[A-Za-z0-9]+)*[/_:-]?$' |
    grep -vE '^[A-Z][a-z]+[A-Z]'
}

# Keys in struct tags, and the last word of tags such as `json:"name,omitempty"`.
tags() {
  product | xargs grep -ohE '(json|yaml|toml):"[^",]+' | sed 's/.*"//'
}

# Numbers of log events as they are defined.
events() {
  product | xargs grep -ohE 'Define\([0-9]+, "[a-z_]+"' | sed 's/Define(//'
}

# Packages, messages, fields, enum values, services and methods.
protocol() {
  sed 's://.*::' api/*.proto |
    grep -oE '^package [a-z.]+|(message|enum|service|rpc|oneof) [A-Za-z_]+|[A-Za-z_][A-Za-z0-9_]* = [0-9]+' |
    sed -E 's/ = [0-9]+$//; s/^[a-z]+ //'
}

# Keys of the deploy files and of their templates.
deploy() {
  sed 's/#.*//' deploy/*.yaml deploy/*.toml | grep -oE '[A-Za-z_]+ *[:=]|\{\{[a-z_.0-9]+' | sed -E 's/ *[:=]$//; s/\{\{//'
}

echo '# Names that leave the process; made by: scripts/external-names.sh > docs/external-names.txt'
{ literals; tags; events; protocol; deploy; } | sort -u
