package org.cuminshelf.exchange;

import org.eclipse.jetty.http.HttpFields;

/**
 * A request that was received completely.
 *
 * @param method       method as sent
 * @param target       path and query as sent, byte for byte
 * @param headers      all headers, including hop-by-hop ones
 * @param body         body without its framing
 * @param readingNanos time from its first byte to its last
 */
public record ReceivedRequest(String method, String target, HttpFields headers, byte[] body, long readingNanos) {

    /**
     * Creates a request that came in one piece.
     *
     * @param method  method as sent
     * @param target  path and query as sent, byte for byte
     * @param headers all headers, including hop-by-hop ones
     * @param body    body without its framing
     */
    public ReceivedRequest(String method, String target, HttpFields headers, byte[] body) {
        this(method, target, headers, body, 0);
    }

    /**
     * Returns the path without the query.
     *
     * @return the path as sent
     */
    public String path() {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }
}
