#!/usr/bin/env bash
# Runs a first job with curl on a deployment started with "make up". Set
# CALLERS to the address that it prints.

set -euo pipefail
: "${CALLERS:?start a deployment with make up and export CALLERS as it prints}"

# 1. Obtain a job ID. Nothing runs yet.
ids=$(curl -sS --fail-with-body "$CALLERS/v1/job-ids" -H 'Content-Type: application/json' -d '{"count":1}')
echo "$ids"
id=$(sed -E 's/.*"ids":\["([^"]+)".*/\1/' <<<"$ids")

# 2. Submit the job under that ID and wait up to 10 s for the complete answer.
curl -sS --fail-with-body -X PUT "$CALLERS/v1/jobs/$id?wait=10s" -H 'Content-Type: application/json' -d '{
  "service": "register",
  "tasks": [
    {"payload": {"run_ms": 40, "permit": "PL-1"}},
    {"payload": {"run_ms": 60, "permit": "PL-2"}}
  ]
}'
echo

# 3. Ask again: the same ID gives the same answer and runs nothing.
curl -sS --fail-with-body "$CALLERS/v1/jobs/$id"
echo

# 4. A job for an unknown service is rejected before anything runs.
curl -sS -X PUT "$CALLERS/v1/jobs/$(curl -sS "$CALLERS/v1/job-ids" -H 'Content-Type: application/json' -d '{"count":1}' |
    sed -E 's/.*"ids":\["([^"]+)".*/\1/')" -H 'Content-Type: application/json' -d '{"service": "no-such", "tasks": [{}]}'
echo
