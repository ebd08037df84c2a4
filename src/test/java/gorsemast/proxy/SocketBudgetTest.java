package gorsemast.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The shares never exceed the sockets, and each use gets some, however few there are. */
class SocketBudgetTest {
    @ParameterizedTest
    @ValueSource(ints = {20, 24, 60, 127, 128, 500, 3_900})
    void sharesDoNotExceedTheSockets(int sockets) {
        SocketBudget budget = SocketBudget.of(sockets);
        int inbound = budget.linkedEdges() == 0 ? 0 : 16;
        assertThat(budget.registries()
                        + budget.linkedEdges()
                        + inbound
                        + budget.servers()
                        + budget.outboundEdges()
                        + budget.inboundEdges()
                        + budget.clients()
                        + 5)
                .isLessThanOrEqualTo(sockets);
        assertThat(budget.clients()).isGreaterThanOrEqualTo(2);
        assertThat(budget.servers()).isGreaterThanOrEqualTo(2);
        assertThat(budget.outboundEdges()).isPositive();
        assertThat(budget.inboundEdges()).isPositive();
    }
}
