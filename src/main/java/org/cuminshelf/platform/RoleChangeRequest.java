package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.DirectOrder;
import org.cuminshelf.message.Envelope;
import org.cuminshelf.message.OrderApplied;
import org.cuminshelf.message.Role;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** The request that changes the role of an engine: a POST with a JSON body. */
final class RoleChangeRequest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/cuminshelf/order";
    private static final int STATUS_ALREADY_IN_ROLE = 200;
    private static final int STATUS_ACCEPTED = 202;

    private RoleChangeRequest() {}

    /**
     * Creates the request.
     *
     * @param order the role change
     * @param vm    name of the VM that sends it (JSON field {@code holder})
     */
    static UpstreamRequest create(DirectOrder order, String vm) {
        ObjectNode body = JSON.createObjectNode()
                .put("op", "stage")
                .put("stage", order.getRole() == Role.ROLE_PREFILL ? PlatformHeaders.STAGE_PREFILL : "decode")
                .put("holder", vm)
                .put("fence", order.getNumber());
        HttpFields headers = HttpFields.build()
                .put(HttpHeader.HOST, order.getAddress())
                .put(HttpHeader.CONTENT_TYPE, "application/json")
                .put(PlatformHeaders.EXPECTED_INSTANCE, order.getUpstream());
        return new UpstreamRequest("POST", PATH, headers, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Reports the engine's response, or the failure to get one, to the core. */
    static final class ResponseHandler implements UpstreamHandler {

        private final long number;
        private final Consumer<Envelope.Builder> core;
        private int status;

        ResponseHandler(long number, Consumer<Envelope.Builder> core) {
            this.number = number;
            this.core = core;
        }

        @Override
        public void onHead(int responseStatus, HttpFields headers) {
            status = responseStatus;
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            // Only the status matters.
        }

        @Override
        public void onComplete() {
            boolean accepted = status == STATUS_ACCEPTED || status == STATUS_ALREADY_IN_ROLE;
            report(accepted, accepted ? Cause.CAUSE_NONE : Cause.ORDER_PENDING);
        }

        @Override
        public void onFailed(boolean sent, String reason) {
            report(false, sent ? Cause.UPSTREAM_SILENT : Cause.CONNECT_FAILED);
        }

        private void report(boolean accepted, Cause cause) {
            core.accept(Envelope.newBuilder()
                    .setOrderApplied(OrderApplied.newBuilder()
                            .setNumber(number)
                            .setAccepted(accepted)
                            .setCause(cause)));
        }
    }
}
