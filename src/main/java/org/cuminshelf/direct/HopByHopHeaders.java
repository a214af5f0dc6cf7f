package org.cuminshelf.direct;

import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;

/** Headers that concern one connection only and are not passed on. */
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
     * Tells whether a header concerns one connection only.
     *
     * @param field the header
     * @return true if it is not to be passed on
     */
    public static boolean contains(HttpField field) {
        return NAMES.contains(field.getName().toLowerCase(Locale.ROOT));
    }
}
