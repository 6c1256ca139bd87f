#!/usr/bin/env bash
# Writes docs/reference.md from the comments and fields of schema/*.fbs.
set -eu
cd "$(dirname "$0")/.."
{
    echo "# Reference"
    echo
    echo "Generated from \`schema/\` by docs/generate_reference.sh. Settings are in \`settings.fbs\`,"
    echo "documents and jobs in \`document.fbs\`. Defaults are 0, empty or false unless given."
    for file in settings document platform peer decision; do
        echo
        echo "## $file.fbs"
        awk '
            /^\/\/ / { sub(/^\/\/ /, ""); print ""; print }
            /^ *\/\/\/ / { line = $0; sub(/^ *\/\/\/ /, "", line); note = note (note ? " " : "") line; next }
            /^(table|enum|union) / {
                print ""; print "### " $2; print ""
                if (note) { print note; print "" }
                note = ""
                if ($0 ~ /\{.*\}/) { body = $0; sub(/^[^{]*\{ */, "", body); sub(/ *\}.*/, "", body)
                    print "`" body "`" }
                next
            }
            /^    [a-z_, ]+/ && !/^    [a-z_]+: / { line = $0; sub(/^ +/, "", line); print "`" line "`" }
            /^    [a-z_]+: / {
                field = $0; sub(/^ +/, "", field); sub(/;.*/, "", field)
                print "- `" field "`" (note ? " — " note : ""); note = ""
            }' "schema/$file.fbs"
    done
} > docs/reference.md
