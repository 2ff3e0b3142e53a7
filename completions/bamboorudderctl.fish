complete -c bamboorudderctl -l admin -x -d 'administration API'
complete -c bamboorudderctl -l account -x -d 'with explain: client account'
complete -c bamboorudderctl -l body-bytes -x -d 'with explain: size of the body'
complete -c bamboorudderctl -l segments -x -d 'with explain: segments of the prompt'
complete -c bamboorudderctl -l tokens -x -d 'with explain: tokens in and out'
complete -c bamboorudderctl -l help -d 'show a summary'
complete -c bamboorudderctl -l if-match -x -d 'change nothing unless this version is current'
complete -c bamboorudderctl -l json -d 'print JSON'
complete -c bamboorudderctl -l watch -d 'with status: refresh every second'
complete -c bamboorudderctl -n __fish_use_subcommand -f \
    -a 'accounts domains drain dump explain members pools routes status version'
complete -c bamboorudderctl -n '__fish_seen_subcommand_from routes pools' \
    -a 'apply check diff get history remove set'
