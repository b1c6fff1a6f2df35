/** Links between instances: TCP frames with MessagePack. */
package io.hickorydrift.proxy.peer;
