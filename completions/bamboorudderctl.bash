_bamboorudderctl()
{
	local current=${COMP_WORDS[COMP_CWORD]}
	local previous=${COMP_WORDS[COMP_CWORD - 1]}
	local commands="accounts domains drain dump explain members pools routes status version"
	local options="--account --admin --body-bytes --help --if-match --json --segments --tokens --watch"

	case "$previous" in
	routes | pools)
		COMPREPLY=($(compgen -W \
		    "apply check diff get history remove set" -- "$current"))
		;;
	apply | check | diff)
		COMPREPLY=($(compgen -f -- "$current"))
		;;
	--account | --admin | --body-bytes | --if-match | --segments | --tokens)
		;;
	*)
		COMPREPLY=($(compgen -W "$commands $options" -- "$current"))
		;;
	esac
}
complete -F _bamboorudderctl bamboorudderctl
