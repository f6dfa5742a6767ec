package org.ibissaddle.daemon.gateway;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.ibissaddle.id.WorkspaceId;
import org.ibissaddle.quota.LeaseAnswer;
import org.ibissaddle.quota.LeaseBatch;
import org.ibissaddle.quota.LeaseRequest;

/**
 * Lease requests of an instance to the issuer of its workspaces, encoded as JSON.
 *
 * @param sender name of the instance that asks
 * @param requests one request for each workspace
 */
record QuotaMessage(String sender, List<Item> requests) {
    QuotaMessage {
        requests = requests == null ? List.of() : List.copyOf(requests);
    }

    static QuotaMessage of(String sender, LeaseBatch batch) {
        return new QuotaMessage(sender, batch.requests().stream().map(Item::of).toList());
    }

    /** A lease request; times and numbers as in {@link LeaseRequest}. */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    record Item(String workspace, List<Long> waiting, long ahead, long rejected) {
        static Item of(LeaseRequest request) {
            return new Item(request.workspace().name(), request.waiting(), request.ahead(), request.rejected());
        }

        LeaseRequest toLeaseRequest() {
            return new LeaseRequest(new WorkspaceId(workspace), waiting == null ? List.of() : waiting, ahead, rejected);
        }
    }

    /** Answers to the lease requests of a message, in the same order. */
    record Reply(List<Answer> answers) {
        Reply {
            answers = answers == null ? List.of() : List.copyOf(answers);
        }
    }

    /** Answer to a lease request; {@code refused} names the reason if the instance is not the issuer. */
    @JsonInclude(JsonInclude.Include.NON_DEFAULT)
    record Answer(
            String workspace,
            long tokens,
            long lifetimeMs,
            long nextMs,
            long backlogMs,
            LeaseAnswer.Reason refused,
            long retryMs) {
        static Answer of(LeaseAnswer answer) {
            String workspace = answer.workspace().name();
            return switch (answer) {
                case LeaseAnswer.Granted granted ->
                    new Answer(
                            workspace,
                            granted.tokens(),
                            granted.lifetimeMs(),
                            granted.nextMs(),
                            granted.backlogMs(),
                            null,
                            0);
                case LeaseAnswer.NotIssuing notIssuing ->
                    new Answer(workspace, 0, 0, 0, 0, notIssuing.reason(), notIssuing.retryMs());
            };
        }

        LeaseAnswer toLeaseAnswer() {
            WorkspaceId id = new WorkspaceId(workspace);
            return refused == null
                    ? new LeaseAnswer.Granted(id, tokens, lifetimeMs, nextMs, backlogMs)
                    : new LeaseAnswer.NotIssuing(id, refused, retryMs);
        }
    }
}
