package openai

import "quaydock/pkg/ids"

// ModelList is the answer of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one element of a ModelList.
type Model struct {
	ID      ids.Service `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	OwnedBy string      `json:"owned_by"`
}

// NewModelList lists models in the order given. Their Created is 0.
func NewModelList(names []ids.Service) ModelList {
	list := ModelList{Object: "list", Data: []Model{}}
	for _, n := range names {
		list.Data = append(list.Data, Model{ID: n, Object: "model", OwnedBy: "quaydock"})
	}
	return list
}
