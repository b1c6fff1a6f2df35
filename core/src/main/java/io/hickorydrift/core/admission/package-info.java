/** Admission control, queueing and retry budgets for overloaded targets. */
package io.hickorydrift.core.admission;
