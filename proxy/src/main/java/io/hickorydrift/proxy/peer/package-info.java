/** Links between instances: authenticated TCP frames with MessagePack messages. */
package io.hickorydrift.proxy.peer;
