"""TLS contexts from settings: for the listener and for links."""

import ssl

from endivewind import exceptions
from endivewind.config import settings


def server_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Context of a listener; an authority makes a certificate a must."""
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, tls)
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def link_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Context of the connecting end of a link between nodes.

    Nodes are called by IP number, and one authority signs nodes only, so the
    certificate's chain is checked and its host name is not.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, tls)
    return context


def _load(context: ssl.SSLContext, tls: settings.Tls) -> None:
    """Reads the files; the errors of ssl do not say which file is meant."""
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority:
            context.load_verify_locations(tls.authority)
    except OSError as error:
        files = (tls.certificate, tls.key, tls.authority)
        names = ", ".join(name for name in files if name)
        raise exceptions.UsageError(f"TLS files {names}: {error}") from error
