#!/bin/sh
# Plays the scale runs of docs/CAPACITY.md one after another: measure.sh SLATELINK FOLDER lists|changes|relays
# Each run writes FOLDER/scale-NAME.json, which holds its options, and its table to FOLDER/scale-NAME.txt.
# `lists` has the starts of fleets and discovery past its time, `changes` all else; both take some ten minutes.
# `relays` has simulated nodes alone, with relays and without, and takes some three minutes.
set -u
slatelink=$1
folder=$2

real=1

run() {
    name=$1
    shift
    echo "$name: slatelink lab scale --real $real --workers 3 --zones 55 --seed 30 $*"
    "$slatelink" lab scale --real $real --workers 3 --zones 55 --seed 30 "$@" \
        --json "$folder/scale-$name.json" > "$folder/scale-$name.txt" 2>&1 || echo "$name: exit code $?"
}

lists() {
    # By the number of servers.
    for servers in 100 500 1500 2500 4600; do
        run "servers-$servers" --simulated 300 --servers $servers --list-changes 1 --length 12
    done
    # By the number of nodes.
    for nodes in 100 300 1000 2000 3000 5000; do
        run "nodes-$nodes" --simulated $nodes --servers 300 --list-changes 0.5 --length 16
    done
    # Calls at the price that they have had in a deployment: 13.6 ms.
    for nodes in 100 300; do
        run "price-$nodes-changes" --simulated $nodes --servers 300 --list-changes 0.5 --length 20 --call-cost 13600
    done
    for nodes in 1000 2000; do
        run "price-$nodes" --simulated $nodes --servers 300 --list-changes 0 --length 30 --call-cost 13600
    done
}

changes() {
    # By the rate of changes. Without any, watches are renewed.
    for rate in 0 0.2 1 2 5; do
        run "rate-$rate" --simulated 300 --servers 300 --list-changes $rate --length 25
    done
    # Requests at a real node and at a few simulated ones.
    for servers in 100 1000 2500 4600; do
        run "requests-$servers" --simulated 3 --servers $servers --list-changes 0.2 --requests 100 --length 12
    done
    for servers in 209 4600; do
        run "requests-$servers-rate-1000" --simulated 1 --servers $servers --list-changes 0.2 --requests 1000 --length 12
    done
    # A size that no slope is from.
    run check --simulated 700 --servers 800 --list-changes 0.7 --length 20
    # New configurations, each of which moves discovery for all nodes.
    for rate in 0.1 0.3 0.58; do
        run "configurations-$rate" --simulated 300 --servers 300 --list-changes 0 --configurations $rate --length 25
    done
    run configurations-0.1-servers-1500 \
        --simulated 300 --servers 1500 --list-changes 0 --configurations 0.1 --length 25
    # Troubles.
    for trouble in restart-tenth zone-lost split; do
        run "trouble-$trouble" --simulated 1000 --servers 300 --list-changes 0.2 --length 30 \
            --trouble $trouble --trouble-at 5 --trouble-for 15
    done
    run trouble-discovery-down --simulated 1000 --servers 300 --list-changes 0.2 --length 60 \
        --trouble discovery-down --trouble-at 5 --trouble-for 40
}

# Behind relays real nodes cannot be followed.
relays() {
    real=0
    for relays in 0 22; do
        tiers=""
        [ $relays = 0 ] || tiers="--relays $relays"
        run "relays-$relays-nodes-300-price" \
            --simulated 300 --servers 300 --list-changes 0.5 --length 16 --call-cost 13600 $tiers
        run "relays-$relays-nodes-1000" --simulated 1000 --servers 300 --list-changes 0.5 --length 16 $tiers
    done
    # Without relays this one does not start (scale-price-1000).
    run relays-22-nodes-1000-price \
        --simulated 1000 --servers 300 --list-changes 0.5 --length 16 --call-cost 13600 --relays 22
    run relays-4-22-nodes-1000-price \
        --simulated 1000 --servers 300 --list-changes 0.5 --length 16 --call-cost 13600 --relays 4,22
    run relays-22-restart-tenth-price --simulated 1000 --servers 300 --list-changes 0.2 --length 10 \
        --call-cost 13600 --relays 22 --trouble restart-tenth --trouble-at 3
}

"$3"
