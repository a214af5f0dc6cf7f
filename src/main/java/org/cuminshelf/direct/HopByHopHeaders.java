package org.cuminshelf.direct;

import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;

/** The hop-by-hop HTTP headers, which are not forwarded. */
public final class HopByHopHeaders {

    private static final Set<String> NAMES = Set.of(
            "connection",
            "content-length",
            "expect",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HopByHopHeaders() {}

    /**
     * Tells whether a header is hop-by-hop.
     *
     * @param field the header
     * @return true if it must not be forwarded
     */
    public static boolean contains(HttpField field) {
        return NAMES.contains(field.getName().toLowerCase(Locale.ROOT));
    }
}
