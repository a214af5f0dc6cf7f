package org.cuminshelf.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/**
 * A request to send to an upstream.
 *
 * @param method  HTTP method
 * @param target  path and query
 * @param headers headers, without those for framing
 * @param body    complete body
 */
public record UpstreamRequest(String method, String target, HttpFields headers, byte[] body) {

    private static final int INITIAL_HEAD_BYTES = 1024;

    /** Returns the encoded head, including the header for the framing of the body. */
    ByteBuffer head() {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_BYTES);
        head.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        for (HttpField field : headers) {
            head.append(field.getName()).append(": ").append(field.getValue()).append("\r\n");
        }
        if (body.length > 0 || !"GET".equals(method) && !"DELETE".equals(method)) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        return ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    }
}
