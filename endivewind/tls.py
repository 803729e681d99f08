"""TLS contexts from the settings, for the listener and for links."""

import ssl

from endivewind import exceptions
from endivewind.config import settings


def make_server_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Makes a listener's context; returns None if TLS is not configured.

    If an authority is set, clients must present a certificate signed by it.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, tls)
    if tls.authority:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_link_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Makes the context of the connecting side of a link between nodes.

    Nodes connect by IP address, and the authority signs only nodes'
    certificates, so the certificate chain is verified but not the host name.
    """
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load(context, tls)
    return context


def _load(context: ssl.SSLContext, tls: settings.Tls) -> None:
    """Loads the files and names them in errors, which ssl does not."""
    try:
        context.load_cert_chain(tls.certificate, tls.key)
        if tls.authority:
            context.load_verify_locations(tls.authority)
    except OSError as error:
        files = (tls.certificate, tls.key, tls.authority)
        names = ", ".join(name for name in files if name)
        raise exceptions.UsageError(f"TLS files {names}: {error}") from error
