package org.cuminshelf.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.UpstreamRequest;
import org.cuminshelf.message.UsageReport;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** The request that reports usage to the platform: a POST with a JSON body. */
final class UsageReportRequest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/usage";
    /** Header with the name of the VM that sends the report. */
    private static final String DUTY_HOLDER_HEADER = "X-Cuminshelf-Duty-Holder";
    /** Header with the fencing number, which increases with each new holder; the platform calls it a token. */
    private static final String FENCE_TOKEN_HEADER = "X-Cuminshelf-Fence-Token";

    private UsageReportRequest() {}

    /**
     * Creates the request. Equal reports have equal bodies, since the platform compares them.
     *
     * @param report          the report
     * @param platformAddress address of the platform
     * @param vm              name of the VM that sends the report
     */
    static UpstreamRequest create(UsageReport report, Address platformAddress, String vm) {
        ObjectNode body =
                JSON.createObjectNode().put("windowSeq", report.getUsage().getWindow());
        ObjectNode counts = body.putObject("counts");
        report.getUsage().getCountsList().forEach(row -> counts.put(row.getOrganisation(), row.getCount()));
        HttpFields headers = HttpFields.build()
                .put(HttpHeader.HOST, platformAddress.value())
                .put(HttpHeader.CONTENT_TYPE, "application/json")
                .put(DUTY_HOLDER_HEADER, vm)
                .put(FENCE_TOKEN_HEADER, report.getNumber());
        return new UpstreamRequest("POST", PATH, headers, body.toString().getBytes(StandardCharsets.UTF_8));
    }
}
