package org.boragegap.entry.cell;

import java.util.function.Consumer;
import org.boragegap.core.cell.CellAction;
import org.boragegap.core.cell.CellEvent;
import org.boragegap.core.cell.OrderResult;
import org.boragegap.platform.TargetOrderClient;

/** Sends a cell's orders to targets and reports their results as events. */
final class OrderSender {
    private final TargetOrderClient mOrders;
    private final Consumer<CellEvent> mEvents;

    /**
     * Creates a sender.
     *
     * @param events receives the result of each order, on any thread
     */
    OrderSender(TargetOrderClient orders, Consumer<CellEvent> events) {
        mOrders = orders;
        mEvents = events;
    }

    void extend(CellAction.ExtendLease order) {
        mOrders.extendLease(order, result -> mEvents.accept(extended(order, result)));
    }

    private static CellEvent extended(
            CellAction.ExtendLease order, TargetOrderClient.LeaseResult result) {
        String id = order.target().id();
        if (result instanceof TargetOrderClient.LeaseResult.Extended extended) {
            return new CellEvent.LeaseExtended(id, order.call(), extended.report());
        }
        return new CellEvent.LeaseFailed(
                id, order.call(), ((TargetOrderClient.LeaseResult.NotExtended) result).cause());
    }

    void start(CellAction.StartRun order) {
        String id = order.target().id();
        mOrders.start(
                order,
                answer ->
                        mEvents.accept(
                                new CellEvent.StartAnswered(
                                        id,
                                        order.task(),
                                        order.run(),
                                        order.term(),
                                        answer.result(),
                                        answer.incarnation())));
    }

    void stop(CellAction.StopRun order) {
        String id = order.target().id();
        mOrders.stop(
                order,
                answer ->
                        mEvents.accept(
                                new CellEvent.StopAnswered(
                                        id,
                                        order.task(),
                                        order.run(),
                                        answer.result() == OrderResult.DONE,
                                        answer.incarnation())));
    }
}
