"""TLS contexts from settings: for the listener and for links."""

import ssl

from endivewind.config import settings


def server_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Context of a listener; an authority makes a certificate a must."""
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def link_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Context of the connecting end of a link between nodes.

    Nodes are called by IP number, and one authority signs nodes only, so the
    certificate's chain is checked and its host name is not.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authority or None)
    context.check_hostname = False
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    return context
