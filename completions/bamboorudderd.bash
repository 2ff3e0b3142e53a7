_bamboorudderd()
{
	local current=${COMP_WORDS[COMP_CWORD]}

	COMPREPLY=($(compgen -W "--check-settings --help --print-settings" \
	    -- "$current") $(compgen -f -- "$current"))
}
complete -F _bamboorudderd bamboorudderd
