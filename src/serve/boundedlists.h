#pragma once

#include <cstddef>
#include <memory>
#include <thrift/protocol/TProtocol.h>
#include <utility>

namespace nutmegtide {

// Memory that the elements of a message's lists may take.
struct ListBound
{
    std::size_t most; // bytes of all lists of a message together
    std::size_t structSize; // bytes of the largest struct in a list
};

// A Thrift protocol that refuses a message whose lists take too much memory. The generated code
// allocates a list's elements by the announced number, before it reads them, and an empty struct
// takes one byte of a message.
//
//   BoundedLists<TCompactProtocol> protocol({MostListBytes, sizeof(wire::LaneRequest)}, transport);
template <typename Protocol>
class BoundedLists : public Protocol
{
public:
    explicit BoundedLists(const ListBound &bound,
                          std::shared_ptr<apache::thrift::transport::TTransport> transport)
        : Protocol(std::move(transport))
        , m_bound(bound)
    { }

    std::uint32_t readMessageBegin_virt(std::string &name,
                                        apache::thrift::protocol::TMessageType &type,
                                        std::int32_t &sequence) override
    {
        m_bytes = 0;
        return Protocol::readMessageBegin_virt(name, type, sequence);
    }
    // Throws TProtocolException for a list that exceeds the bound.
    std::uint32_t readListBegin_virt(apache::thrift::protocol::TType &type,
                                     std::uint32_t &size) override
    {
        using apache::thrift::protocol::TProtocolException;
        const std::uint32_t read = Protocol::readListBegin_virt(type, size);
        m_bytes += size * elementSize(type);
        if (m_bytes > m_bound.most)
            throw TProtocolException(TProtocolException::SIZE_LIMIT, "lists with too many elements");
        return read;
    }

private:
    std::size_t elementSize(apache::thrift::protocol::TType type) const
    {
        switch (type) {
        case apache::thrift::protocol::T_STRUCT:
            return m_bound.structSize;
        case apache::thrift::protocol::T_STRING:
            return sizeof(std::string);
        default:
            return sizeof(std::int64_t);
        }
    }

    const ListBound m_bound;
    std::size_t m_bytes = 0; // of the lists of the current message
};

} // namespace nutmegtide
