_bamboorudderctl()
{
	local current=${COMP_WORDS[COMP_CWORD]}
	local previous=${COMP_WORDS[COMP_CWORD - 1]}
	local commands="accounts domains drain dump members pools routes status version"
	local options="--admin --help --if-match --json --watch"

	case "$previous" in
	routes | pools)
		COMPREPLY=($(compgen -W \
		    "apply check diff get history remove set" -- "$current"))
		;;
	apply | check | diff)
		COMPREPLY=($(compgen -f -- "$current"))
		;;
	--admin | --if-match)
		;;
	*)
		COMPREPLY=($(compgen -W "$commands $options" -- "$current"))
		;;
	esac
}
complete -F _bamboorudderctl bamboorudderctl
