#!/usr/bin/env bash
# Makes the TEST keys and certificates of this folder; valid for 100 years.
# They secure nothing: everybody can read them.
set -euo pipefail
cd "$(dirname "$0")"
authority() { # name
  openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
    -days 36500 -subj "/CN=endivewind TEST $1" \
    -addext basicConstraints=critical,CA:TRUE \
    -addext keyUsage=critical,keyCertSign \
    -keyout "$1.key" -out "$1.pem"
}
signed() { # name authority
  openssl req -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes \
    -subj "/CN=endivewind TEST $1" -keyout "$1.key" -out "$1.csr"
  openssl x509 -req -in "$1.csr" -CA "$2.pem" -CAkey "$2.key" -days 36500 \
    -extfile <(printf 'subjectAltName=IP:127.0.0.1,DNS:localhost\nbasicConstraints=CA:FALSE') -out "$1.pem"
  rm "$1.csr"
}
authority authority
authority stranger-authority
signed node authority
signed stranger stranger-authority
rm -f authority.key stranger-authority.key ./*.srl
