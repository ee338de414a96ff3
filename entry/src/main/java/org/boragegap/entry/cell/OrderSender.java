package org.boragegap.entry.cell;

import java.util.function.Consumer;
import org.boragegap.core.cell.CellAction;
import org.boragegap.core.cell.CellEvent;
import org.boragegap.platform.TargetOrderClient;

/** Sends a cell's orders to targets and turns what becomes of them into events. */
final class OrderSender {
    private final TargetOrderClient mOrders;
    private final Consumer<CellEvent> mEvents;

    /**
     * Makes a sender.
     *
     * @param cell takes what became of each order, on any thread
     */
    OrderSender(TargetOrderClient orders, Consumer<CellEvent> cell) {
        mOrders = orders;
        mEvents = cell;
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
                result ->
                        mEvents.accept(
                                new CellEvent.StartAnswered(
                                        id, order.task(), order.run(), order.fence(), result)));
    }

    void stop(CellAction.StopRun order) {
        String id = order.target().id();
        mOrders.stop(
                order,
                taken ->
                        mEvents.accept(
                                new CellEvent.StopAnswered(id, order.task(), order.run(), taken)));
    }
}
